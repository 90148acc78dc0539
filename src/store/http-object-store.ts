import { HttpTransport } from './http-transport.js'
import { PlatformClient } from './platform-client.js'
import type { StoreDialect } from './store-dialect.js'

/** The platform's object API over HTTP. */
export class HttpObjectStore extends PlatformClient {
  constructor (base: string, options: ConstructorParameters<typeof PlatformClient>[1] & { readonly dialect?: StoreDialect } = {}) {
    super(new HttpTransport(base, options.dialect), options)
  }
}
