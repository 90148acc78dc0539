import type { PartLoss } from './part-loss.js'
import type { ServerPartLoss } from './server-part-loss.js'

/** Lists the loss of a server as a loss of each of these parts that was in flight there. */
export function listPartLosses ({ server, at, daemon, id, runs }: ServerPartLoss, parts: ReadonlySet<string>): ReadonlyArray<readonly [part: string, loss: PartLoss]> {
  return [...parts].map(part => {
    const own = runs.filter(run => run.parts.includes(part))
    const ages = own.map(({ began }) => began)
    const beside = [...parts].filter(other => other !== part && own.every(run => run.parts.includes(other)))
    return [part, { server, at, first: Math.min(...ages), began: Math.max(...ages), runs: new Map([[daemon, own.length]]), ...id !== undefined && { ids: new Map([[daemon, id]]) }, beside }]
  })
}
