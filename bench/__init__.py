"""Load generator, fault scenarios and measurements on local processes."""
