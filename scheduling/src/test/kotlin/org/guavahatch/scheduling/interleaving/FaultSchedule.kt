package org.guavahatch.scheduling.interleaving

import org.guavahatch.model.configuration.DispatchRule
import org.guavahatch.model.identity.RequestId
import org.guavahatch.scheduling.dispatch.RequestSpecification

/**
 * Drives a [SimulatedCluster] by random steps: new requests, delivered frames, ended calls, lost connections, freezes,
 * crashes, planned stops and passing time.
 */
internal class FaultSchedule(private val cluster: SimulatedCluster, private val withFaults: Boolean = true) {
    private val random = cluster.random

    /** Runs [steps] random steps, then ends all faults and lets all requests end. */
    fun run(steps: Int) {
        cluster.connections.forEach(::open)
        repeat(steps) { step() }
        settle()
    }

    private fun step() {
        if (withFaults && random.nextInt(5) == 0) fault() else progress()
    }

    private fun progress() {
        when (random.nextInt(80)) {
            in 0..7 -> submit()
            in 8..44 -> deliver()
            in 45..59 -> cluster.sidecars.random(random).let { if (!it.isFrozen) it.endRandomCall() }
            else -> passTime(random.nextLong(1, 30))
        }
    }

    private fun fault() {
        when (random.nextInt(20)) {
            in 0..5 -> loseConnection(cluster.connections.random(random))
            in 6..13 -> open(cluster.connections.random(random))
            in 14..15 -> cluster.sidecars.random(random).let { it.isFrozen = !it.isFrozen }
            in 16..17 -> crashSidecar(cluster.sidecars.random(random))
            18 -> crashEntry(cluster.entries.random(random))
            else -> shutDown(cluster.sidecars.random(random))
        }
    }

    private fun submit() {
        val entry = cluster.entries.random(random)
        val specification = RequestSpecification(
            requestId = RequestId(entry.incarnation, ++entry.sequence),
            pool = SimulatedSidecar.POOL,
            route = "route",
            account = "account${random.nextInt(2)}",
            share = 1,
            rank = random.nextInt(3),
            dispatch = DispatchRule.entries.random(random),
            needsClaim = random.nextInt(4) == 0,
            cost = 1.0,
            promptCost = 0.0,
            tokens = 1,
            prefixBlocks = emptyList(),
            deadlineMilliseconds = cluster.nowMilliseconds + random.nextLong(50, 1500),
        )
        entry.submit(specification)
    }

    private fun deliver() {
        val busy = cluster.connections.filter {
            (it.toEntry.isNotEmpty()) || (it.toSidecar.isNotEmpty() && !it.sidecar.isFrozen)
        }
        val connection = busy.randomOrNull(random) ?: return
        val goesToSidecar = connection.toSidecar.isNotEmpty() && !connection.sidecar.isFrozen
        if (goesToSidecar && (connection.toEntry.isEmpty() || random.nextBoolean())) {
            val message = connection.toSidecar.removeFirst()
            repeat(deliveryCount()) { connection.sidecar.receive(connection.entry.incarnation, message) }
        } else if (connection.toEntry.isNotEmpty()) {
            val message = connection.toEntry.removeFirst()
            repeat(deliveryCount()) { connection.entry.receive(connection.sidecar.endpoint, message) }
        }
    }

    private fun deliveryCount() = if (withFaults && random.nextInt(25) == 0) 2 else 1

    /**
     * Leaves the connection half-open: the entry instance notices the loss at once, while the sidecar keeps reading the
     * frames in transit until the next connection is opened.
     */
    private fun loseConnection(connection: SimulatedConnection) {
        if (!connection.isOpen) return
        connection.isOpen = false
        connection.isHalfOpen = true
        connection.toEntry.clear()
        connection.entry.perform(
            connection.entry.dispatcher.onEndpointDisconnected(connection.sidecar.endpoint, cluster.nowMilliseconds),
        )
    }

    private fun noticeLoss(connection: SimulatedConnection) {
        if (!connection.isHalfOpen) return
        connection.isHalfOpen = false
        connection.toSidecar.clear()
        connection.sidecar.perform(
            connection.sidecar.scheduler.onEntryLost(connection.entry.incarnation, cluster.nowMilliseconds),
        )
    }

    private fun open(connection: SimulatedConnection) {
        if (connection.isOpen ||
            connection.sidecar.isFrozen ||
            connection.sidecar.shutdownAtMilliseconds < cluster.nowMilliseconds
        ) {
            return
        }
        noticeLoss(connection)
        connection.isOpen = true
        val sidecar = connection.sidecar
        connection.entry.perform(
            connection.entry.dispatcher.onEndpointConnected(
                sidecar.endpoint,
                SimulatedSidecar.POOL,
                sidecar.scheduler.incarnation,
                isLocalZone = true,
                cluster.nowMilliseconds,
            ),
        )
    }

    private fun crashSidecar(sidecar: SimulatedSidecar) {
        cluster.connections.filter { it.sidecar === sidecar }.forEach(::loseConnection)
        sidecar.restart()
        sidecar.isFrozen = false
        cluster.connections.filter { it.sidecar === sidecar }.forEach {
            it.isHalfOpen = false
            it.toSidecar.clear()
        }
    }

    private fun crashEntry(entry: SimulatedEntry) {
        val connections = cluster.connections.filter { it.entry === entry }
        connections.filter { it.isOpen || it.isHalfOpen }.forEach {
            it.toEntry.clear()
            it.toSidecar.clear()
            it.isOpen = false
            it.isHalfOpen = false
            it.sidecar.perform(it.sidecar.scheduler.onEntryLost(entry.incarnation, cluster.nowMilliseconds))
        }
        cluster.crashedEntries += entry.incarnation
        entry.restart()
    }

    private fun shutDown(sidecar: SimulatedSidecar) {
        if (sidecar.isFrozen || sidecar.shutdownAtMilliseconds != Long.MAX_VALUE) return
        sidecar.shutdownAtMilliseconds = cluster.nowMilliseconds
        sidecar.perform(sidecar.scheduler.onShutdown())
    }

    private fun passTime(milliseconds: Long) {
        cluster.nowMilliseconds += milliseconds
        cluster.entries.forEach { it.perform(it.dispatcher.onTick(cluster.nowMilliseconds)) }
        cluster.sidecars.filterNot { it.isFrozen }.forEach { it.perform(it.scheduler.onTick(cluster.nowMilliseconds)) }
    }

    /** Ends all faults, then delivers frames, ends calls and advances time past all deadlines. */
    private fun settle() {
        cluster.sidecars.forEach { it.isFrozen = false }
        cluster.sidecars.filter { it.shutdownAtMilliseconds != Long.MAX_VALUE }.forEach(::crashSidecar)
        repeat(SETTLE_STEPS) {
            cluster.connections.forEach(::open)
            repeat(SETTLE_FRAMES) { deliver() }
            cluster.sidecars.forEach { it.endRandomCall() }
            passTime(SETTLE_TICK_MILLISECONDS)
        }
    }

    private companion object {
        const val SETTLE_STEPS = 120
        const val SETTLE_FRAMES = 40
        const val SETTLE_TICK_MILLISECONDS = 40L
    }
}
