/** A service that callers request by name: a model on engines, or a plain HTTP service. */
export interface Service {
  readonly kind: 'model' | 'plain'
  /** Pool of the instances that serve it, as named in the platform's instance list. */
  readonly pool: string
  /** Name of its model, for the kind `model`. */
  readonly model?: string
  /** Whether calls may be repeated; by default true for models and false for plain services. */
  readonly idempotent: boolean
}
