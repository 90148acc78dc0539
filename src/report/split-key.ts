/** Splits the key of an account row, `caller/service/work`. A service name may contain slashes. */
export function splitKey (key: string): { readonly caller: string, readonly service: string, readonly work: 'online' | 'batch' } {
  const [caller = '', ...rest] = key.split('/')
  const work = rest.pop() === 'batch' ? 'batch' : 'online'
  return { caller, service: rest.join('/'), work }
}
