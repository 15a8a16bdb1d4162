"""Storage: files that last once they are synced."""
