import * as t from 'typanion'

/** Holds for a number that is a TCP port, or 0, which lets the system choose. */
export const isPort = t.cascade(t.isNumber(), [t.isInteger(), t.isInInclusiveRange(0, 65_535)])
