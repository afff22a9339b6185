package org.guavahatch.gateway.control

import org.guavahatch.scheduling.rollout.RolloutRecord

/** Keeps the records of rollouts for all gateways. What it finds is passed to [PlatformListener.onRolloutRecord]. */
interface RolloutStore {
    /** Reads the record of [pool]. */
    fun read(pool: String)

    /**
     * Writes [record] after a random delay, unless the stored one is of a newer order or at least as final. A failed
     * write is repeated.
     *
     * @param withdrawn versions that earlier orders have rolled back or replaced
     */
    fun save(record: RolloutRecord, withdrawn: Set<String>)
}
