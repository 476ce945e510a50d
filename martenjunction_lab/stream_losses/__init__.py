"""Clients take up streams after boxes lost what they knew of them."""
