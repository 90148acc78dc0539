const net = require('node:net')

/**
 * Loaded into a daemon's process. SIGUSR2 alternates between two states: what comes from the ports of HELD_PORTS is held back, as by a
 * network that loses all packets of one direction; or everything arrives, first what was held.
 */
const ports = new Set(process.env.HELD_PORTS.split(',').map(Number))
const { push } = net.Socket.prototype
/** What has come since the beginning, in order; undefined while nothing is held. */
let held

net.Socket.prototype.push = function (...arrived) {
  if (held === undefined || (!ports.has(this.remotePort) && !ports.has(this.localPort))) return push.apply(this, arrived)
  held.push([this, arrived])
  return true
}

process.on('SIGUSR2', () => {
  const late = held ?? []
  held = held === undefined ? [] : undefined
  for (const [socket, arrived] of late) if (!socket.destroyed) push.apply(socket, arrived)
})
