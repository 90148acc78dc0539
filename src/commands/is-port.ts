import * as t from 'typanion'

/** Validates an argument as a TCP port, or 0 for a free port. */
export const isPort = t.cascade(t.isNumber(), [t.isInteger(), t.isInInclusiveRange(0, 65_535)])
