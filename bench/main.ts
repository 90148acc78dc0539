void 0
