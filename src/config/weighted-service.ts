/** A service among those that a route splits its requests over. */
export interface WeightedService {
  readonly service: string
  /** Its part of the sum of all weights of the route. */
  readonly weight: number
}
