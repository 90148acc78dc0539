/** The default of an exhaustive switch: a variant without a case is a compile error here. Throws if reached. */
export function failUnreachable (value: never): never {
  throw new Error(`unreachable: ${JSON.stringify(value)}`)
}
