import type { Random } from '../kernel/random.js'
import type { WeightedService } from './weighted-service.js'

/** Picks one of the services of a route at random, in proportion to their weights; undefined if all weights are 0. */
export function chooseService (services: readonly WeightedService[], random: Random): string | undefined {
  const sum = services.reduce((total, { weight }) => total + weight, 0)
  let remaining = random.next() * sum
  for (const { service, weight } of services) {
    remaining -= weight
    if (weight > 0 && remaining < 0) return service
  }
  return services.find(({ weight }) => weight > 0)?.service
}
