/** Identifies the route that accepted a job, whichever route the path of its submission selects later. */
export interface JobRoute {
  /** Its name in the operators' configuration. */
  readonly name?: string
  readonly pathPrefix: string
}
