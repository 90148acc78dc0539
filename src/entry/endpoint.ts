/** An address to listen on. */
export interface Endpoint {
  readonly host: string
  readonly port: number
}
