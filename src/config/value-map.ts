/** A map of YAML as a plain value, without the places of its keys. */
export type ValueMap = Readonly<Record<string, unknown>>
