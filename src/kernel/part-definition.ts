/**
 * How a part announces itself: its class, resolved once a daemon, and the names of parts to start before it. The
 * class implements what it needs of `Part`, which may be nothing.
 */
export interface PartDefinition {
  readonly name: string
  readonly part: new (...args: any[]) => object
  readonly needs?: readonly string[]
}
