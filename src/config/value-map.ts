/** A YAML map as a plain value, without locations. */
export type ValueMap = Readonly<Record<string, unknown>>
