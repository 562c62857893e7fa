"""What good and bad versions get in a roll-out."""
