package org.guavahatch.daemon.entry

import org.guavahatch.model.configuration.ClientAccount
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Limits how many requests an entry instance holds for each account. */
internal class AccountGate {
    private val inFlight = ConcurrentHashMap<String, AtomicInteger>()

    /** Counts a request of [account]; false, without counting it, if the account has as many as it may have. */
    fun tryEnter(account: ClientAccount): Boolean {
        val counter = inFlight.computeIfAbsent(account.name) { AtomicInteger() }
        if (counter.incrementAndGet() <= account.maximumInFlight) return true
        counter.decrementAndGet()
        return false
    }

    fun leave(account: ClientAccount) {
        inFlight.getValue(account.name).decrementAndGet()
    }
}
