"""Admission control: queues, floors and limits."""
