/**
 * The stored head of a configuration: the version assigned by the store, the hashes of the parts that make up the
 * value, and any further data of the writer.
 */
export interface VersionHead {
  readonly version: number
  readonly parts: readonly string[]
  readonly body: unknown
}
