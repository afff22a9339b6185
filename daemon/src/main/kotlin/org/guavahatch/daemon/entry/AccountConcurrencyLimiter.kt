package org.guavahatch.daemon.entry

import org.guavahatch.model.configuration.ClientAccount
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Limits the number of concurrent requests of each client account on one entry instance. */
internal class AccountConcurrencyLimiter {
    private val inFlight = ConcurrentHashMap<String, AtomicInteger>()

    /**
     * Acquires a slot for a request of [account]. Returns false if the account already has
     * [ClientAccount.maximumInFlight] requests.
     */
    fun tryAcquire(account: ClientAccount): Boolean {
        val counter = inFlight.computeIfAbsent(account.name) { AtomicInteger() }
        if (counter.incrementAndGet() <= account.maximumInFlight) return true
        counter.decrementAndGet()
        return false
    }

    /** Releases a slot that [tryAcquire] granted. */
    fun release(account: ClientAccount) {
        inFlight.getValue(account.name).decrementAndGet()
    }
}
