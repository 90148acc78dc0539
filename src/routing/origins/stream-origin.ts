/** Where a stream began, as far as its continuation depends on it. */
export interface StreamOrigin {
  readonly pool: string
  /** Version of the software of the server that sent its first event, for comparison with that of others; see `indexVersions`. */
  readonly version: string
}
