"""The product's own objects: configuration, claims and the list of boxes."""
