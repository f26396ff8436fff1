/** Limits retries to a share of the requests, so that failing endpoints do not multiply the load. */

/** A budget of retries. */
export interface RetryBudget {
  noteRequest (): void
  /** Takes one retry from the budget, if there is one left. */
  tryTake (): boolean
}

const maxTokens = 20
const startTokens = 10

/** Creates a budget that grows by `getPercent() / 100` retries with each request. */
export function createRetryBudget (getPercent: () => number): RetryBudget {
  let tokens = startTokens
  return {
    noteRequest: () => { tokens = Math.min(maxTokens, tokens + getPercent() / 100) },
    tryTake: () => {
      if (tokens < 1) return false
      tokens--
      return true
    }
  }
}
