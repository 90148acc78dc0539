/**
 * What the store keeps under one name: the version that the store gave it, the hashes of the parts that make up the
 * value, and whatever else the writer wants to travel with it.
 */
export interface VersionHead {
  readonly version: number
  readonly parts: readonly string[]
  readonly body: unknown
}
