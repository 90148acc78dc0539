/** A service that callers name: a model on engines, or a plain HTTP service. */
export interface Service {
  readonly kind: 'model' | 'plain'
  /** Pool of the instances that serve it, as the platform's instance list names it. */
  readonly pool: string
  /** Name of its model, for the kind `model`. */
  readonly model?: string
  /** Whether its calls may be repeated. Model calls may; those of plain services only where this says so. */
  readonly idempotent: boolean
}
