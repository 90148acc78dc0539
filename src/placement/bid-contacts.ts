/** Interval at which a daemon asks a group's broker to confirm a bid, ms. */
const CONFIRM_PERIOD = 1_000
/** Bids in succession without a confirmation after which the group counts as without a broker. */
const MAX_UNCONFIRMED = 3

interface Contact { readonly unconfirmed: number, readonly askedAt: number, readonly startedAt: number }

const NONE: Contact = { unconfirmed: 0, askedAt: -Infinity, startedAt: -Infinity }

/**
 * Tracks for each server group whether a broker confirms this daemon's bids. Most bids get no response, and with jobs alone no online
 * request notices a broker that can't be reached or that takes another daemon for the broker. Times are monotonic ms.
 */
export class BidContacts {
  private readonly contacts = new Map<string, Contact>()

  /** Records a bid for the group; returns whether it asks for a confirmation. */
  recordBid (group: string, now: number): boolean {
    const contact = this.contacts.get(group) ?? NONE
    if (now < contact.askedAt + CONFIRM_PERIOD) return false
    this.contacts.set(group, { ...contact, unconfirmed: contact.unconfirmed + 1, askedAt: now })
    return true
  }

  /** Records that the group's broker confirmed a bid. */
  recordConfirmation (group: string): void {
    this.contacts.set(group, { ...this.contacts.get(group) ?? NONE, unconfirmed: 0 })
  }

  /** Returns whether an item may start without the broker, one in a while; the start is then confirmed by `recordStart`. */
  mayStart (group: string, now: number): boolean {
    const { unconfirmed, startedAt } = this.contacts.get(group) ?? NONE
    return unconfirmed > MAX_UNCONFIRMED && now >= startedAt + CONFIRM_PERIOD
  }

  recordStart (group: string, now: number): void {
    this.contacts.set(group, { ...this.contacts.get(group) ?? NONE, startedAt: now })
  }
}
