"""An overload control layer for service call graphs."""
