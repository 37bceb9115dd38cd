"""Small stand-ins for the systems around egrethall."""
