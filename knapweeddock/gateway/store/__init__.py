"""The store's objects and the state that follows from them."""
