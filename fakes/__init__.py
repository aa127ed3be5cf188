"""Stand-ins for the systems at azurewick's interfaces."""
