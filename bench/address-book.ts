import type { Fleet } from '../harness/fleet.js'

const PERIOD = 500

/** A caller's list of entry addresses, refreshed every half second from the daemons that answer. */
export class AddressBook {
  urls: readonly string[]
  private readonly timer: NodeJS.Timeout

  constructor (fleet: Fleet) {
    this.urls = fleet.daemons.map(daemon => fleet.url(daemon))
    this.timer = setInterval(() => { void this.refresh() }, PERIOD)
  }

  close (): void {
    clearInterval(this.timer)
  }

  private async refresh (): Promise<void> {
    const answers = await Promise.all(this.urls.map(async url => {
      try {
        const response = await fetch(`${url}/v1/addresses`, { headers: { authorization: 'Bearer quay-desk-token' }, signal: AbortSignal.timeout(PERIOD) })
        return (await response.json() as { addresses: readonly { url: string }[] }).addresses.map(({ url }) => url)
      } catch {
        return []
      }
    }))
    const named = [...new Set(answers.flat())]
    if (named.length > 0) this.urls = named
  }
}
