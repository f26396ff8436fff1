/** Disturbances that end the term of the host that schedules, for randomised tests on the pool harness. */
import { leaderKey } from '../election/leaderElection.js'
import type { HarnessHost, PoolHarness } from './poolHarness.js'

/** Notes that something is disturbed until `forMs` from now, in ms; 0 by default. Other hosts can take over for one that is `isReplaceable`. */
export type Disturb = (what: string, forMs?: number, isReplaceable?: boolean) => void

/** What the disturbances need of a test. */
export interface TermDisturbanceHost {
  readonly harness: PoolHarness
  /** Replaces the hosts that are gone. */
  readonly addHosts: () => void
  /** Returns an integer from 0 to below the limit. */
  readonly random: (limit: number) => number
  readonly disturb: Disturb
}

/** Kinds of disturbances that tests choose. */
export enum TermDisturbance {
  Kill = 0,
  Stop = 2,
  Freeze = 4
}

/** The number of kinds of disturbances. */
export const termDisturbanceCount = 9
/** A freeze that begins with a renewal of a lease begins within this, in ms. */
const maxRenewalWaitMs = 500

/** The host that schedules by its own account and by that of the store. */
export function getLeader (harness: PoolHarness): HarnessHost | undefined {
  const host = harness.hosts.get(harness.store.peek(leaderKey) ?? '')
  return host?.getTerm()?.isValid() === true ? host : undefined
}

/** Disturbs the host that schedules, or all hosts at once, in a way below `termDisturbanceCount`. Those that are killed or stopped are replaced later. */
export function disturbTerm ({ harness, addHosts, random, disturb }: TermDisturbanceHost, leader: HarnessHost, kind: number): void {
  const { hostId } = leader
  const { store } = harness
  const hosts = [...harness.hosts.values()]
  const forMs = 500 + 100 * random(50)
  const cutWorkers = new Set([...harness.workers.keys()].filter(() => random(3) > 0))
  const endLater = (what: string, end: () => void, isReplaceable = true): void => {
    disturb(`${what} (${hostId} schedules)`, forMs, isReplaceable)
    setTimeout(end, forMs)
  }
  const disturbances: readonly (() => void)[] = [
    () => {
      endLater('kill', addHosts)
      leader.crash()
    },
    () => {
      disturb('kill, replaced at once')
      leader.crash()
      addHosts()
    },
    () => {
      endLater('stop', addHosts)
      void leader.stop()
    },
    () => {
      endLater('kill of all', addHosts, false)
      for (const host of hosts) host.crash()
    },
    () => {
      disturb('freeze', forMs + maxRenewalWaitMs, true)
      leader.freeze(forMs, random(3) === 0)
    },
    () => {
      disturb('freeze of all', forMs)
      for (const host of hosts) host.freeze(forMs)
    },
    () => {
      endLater('cut off from the store', () => { store.setUnavailable(false, hostId) })
      store.setUnavailable(true, hostId)
    },
    () => {
      endLater('cut off from workers', () => { leader.setCutFromWorkers(new Set()) }, false)
      leader.setCutFromWorkers(cutWorkers)
    },
    () => {
      disturb('renewals held back', forMs, true)
      store.holdRenewals(hostId, forMs)
    }
  ]
  disturbances[kind]?.()
}
