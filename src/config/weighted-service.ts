/** One of the services that a route distributes its requests over. */
export interface WeightedService {
  readonly service: string
  /** Relative weight among the services of the route. */
  readonly weight: number
}
