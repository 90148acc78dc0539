import { inject, Lifecycle, scoped } from 'tsyringe'
import { ConfigurationHolder } from '../config/configuration-holder.js'
import type { Model } from '../config/model.js'
import { Servers } from '../routing/servers/servers.js'

/** A model service that a server's pool serves. */
interface ServedModel { readonly service: string, readonly model: Model }

/** Finds the model services that a backend server serves, by the configuration and the server's pool. */
@scoped(Lifecycle.ContainerScoped)
export class ServedModels {
  constructor (
    @inject(ConfigurationHolder) private readonly configuration: ConfigurationHolder,
    @inject(Servers) private readonly servers: Servers
  ) {}

  list (server: string): readonly ServedModel[] {
    const { services, models } = this.configuration.value
    const pool = this.servers.findPool(server)
    return Object.entries(services).flatMap(([service, { kind, pool: served, model }]) => {
      const found = models[model ?? '']
      return kind === 'model' && served === pool && found !== undefined ? [{ service, model: found }] : []
    })
  }

  /** Returns how many sequences may be in flight at the server, undefined if it serves no model. */
  findLimit (server: string): number | undefined {
    const served = this.list(server)
    return served.length === 0 ? undefined : Math.min(...served.map(({ model }) => model.maxInFlight))
  }
}
