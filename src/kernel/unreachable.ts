/** Ends an exhaustive switch: a new variant that no case handles fails to compile here. */
export function failUnreachable (value: never): never {
  throw new Error(`unreachable: ${JSON.stringify(value)}`)
}
