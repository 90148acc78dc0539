/**
 * Registration of a part: its class, which is instantiated once per daemon, and the names of the parts to start before it.
 * The class may implement any members of `Part`, or none.
 */
export interface PartDefinition {
  readonly name: string
  readonly part: new (...args: any[]) => object
  readonly needs?: readonly string[]
}
