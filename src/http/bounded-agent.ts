import { Agent, type Dispatcher } from 'undici'
import { limitAnswer } from './limit-answer.js'

/** An agent whose answers are bounded; see `limitAnswer`. */
export class BoundedAgent extends Agent {
  override dispatch (options: Agent.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
    return super.dispatch(options, limitAnswer(handler))
  }
}
