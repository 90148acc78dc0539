import type { Service } from '../config/service.js'
import type { Item } from './item.js'

const MODEL_PATHS = ['/v1/chat/completions', '/v1/completions']
const PLAIN_PATH = /^\/services\/([^/]+)(\/.*)$/

/** The service of an item, and the path of the request there. */
interface Target { readonly name: string, readonly service: Service, readonly path: string }

/** Finds the service that an item names by its model or path; returns an error message if there is none. */
export function findService (item: Item, services: Readonly<Record<string, Service>>): Target | string {
  const plain = PLAIN_PATH.exec(item.url)
  const name = plain === null ? String(item.body.model) : plain[1]!
  const service = Object.hasOwn(services, name) ? services[name] : undefined
  if (plain !== null) return service?.kind === 'plain' ? { name, service, path: plain[2]! } : `url: there is no plain service ${name}`
  if (!MODEL_PATHS.includes(item.url)) return `url: must be one of ${MODEL_PATHS.join(', ')} or /services/NAME/…`
  return service?.kind === 'model' ? { name, service, path: item.url } : `body.model: there is no ${name}`
}
