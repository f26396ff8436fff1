/** The shares of the memory and the descriptors of a process that the clients of its ports may hold. */
import type { ClientLimits } from '../common/clientBudget.js'
import { connectionBytes } from '../common/clientBudget.js'

/** The limits of each port. */
export interface PortLimits {
  readonly callers: ClientLimits
  readonly peers: ClientLimits
  /** The ready and the metrics address, each. */
  readonly probes: ClientLimits
}

const bytesPerMb = 1_024 * 1_024
/** Descriptors that the platform reserves for files. */
const fileDescriptors = 200
/** The shares of the others; the rest, a quarter, is kept for the own connections to the store, the workers and the peers. */
const callerDescriptorShare = 1 / 2
const peerDescriptorShare = 1 / 8
const probeDescriptorShare = 1 / 32
/** The shares of the memory for connections and for bodies, half of it together. Each of 60 hosts may have 6 connections to a peer. The heap of the process takes 200 of 350 MB at most, and the idle process about 85 MB. */
const callerConnectionShare = 0.2
const peerConnectionShare = 0.08
const bodyShare = 0.08
/** The platform calls the ready and the metrics address about once per second. */
const maxProbeConnections = 32
/** Probes hold nothing but requests that wait. */
const probeBytes = 256 * 1_024

/** Derives the limits from the memory and the descriptors of the process. */
export function getPortLimits (memoryMb: number, maxDescriptors: number): PortLimits {
  const memoryBytes = memoryMb * bytesPerMb
  const sockets = Math.max(0, maxDescriptors - fileDescriptors)
  return {
    callers: createLimits(callerDescriptorShare, callerConnectionShare),
    peers: createLimits(peerDescriptorShare, peerConnectionShare),
    probes: { maxConnections: Math.max(1, Math.min(maxProbeConnections, Math.floor(sockets * probeDescriptorShare))), maxBytes: probeBytes }
  }

  function createLimits (descriptorShare: number, connectionShare: number): ClientLimits {
    const maxConnections = Math.max(1, Math.floor(Math.min(sockets * descriptorShare, memoryBytes * connectionShare / connectionBytes)))
    return { maxConnections, maxBytes: Math.floor(memoryBytes * bodyShare) }
  }
}
