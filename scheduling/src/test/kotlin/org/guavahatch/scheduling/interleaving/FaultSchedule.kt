package org.guavahatch.scheduling.interleaving

import org.guavahatch.model.configuration.DispatchRule
import org.guavahatch.model.identity.RequestId
import org.guavahatch.scheduling.dispatch.RequestSpecification

/** Moves a [World] by random steps: requests, frames, ends of calls, cuts, freezes, crashes, planned stops, time. */
internal class FaultSchedule(private val world: World, private val withFaults: Boolean = true) {
    private val random = world.random

    /** Runs [steps] random steps, then lets everything come to rest. */
    fun run(steps: Int) {
        world.wires.forEach(::open)
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
            in 45..59 -> world.sidecars.random(random).let { if (!it.isFrozen) it.endOne() }
            else -> passTime(random.nextLong(1, 30))
        }
    }

    private fun fault() {
        when (random.nextInt(20)) {
            in 0..5 -> cut(world.wires.random(random))
            in 6..13 -> open(world.wires.random(random))
            in 14..15 -> world.sidecars.random(random).let { it.isFrozen = !it.isFrozen }
            in 16..17 -> crashSidecar(world.sidecars.random(random))
            18 -> crashEntry(world.entries.random(random))
            else -> leave(world.sidecars.random(random))
        }
    }

    private fun submit() {
        val entry = world.entries.random(random)
        val specification = RequestSpecification(
            requestId = RequestId(entry.incarnation, ++entry.sequence),
            pool = SidecarNode.POOL,
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
            deadlineMilliseconds = world.nowMs + random.nextLong(50, 1500),
        )
        entry.submit(specification)
    }

    private fun deliver() {
        val busy = world.wires.filter {
            (it.toEntry.isNotEmpty()) || (it.toSidecar.isNotEmpty() && !it.sidecar.isFrozen)
        }
        val wire = busy.randomOrNull(random) ?: return
        val goesToSidecar = wire.toSidecar.isNotEmpty() && !wire.sidecar.isFrozen
        if (goesToSidecar && (wire.toEntry.isEmpty() || random.nextBoolean())) {
            val message = wire.toSidecar.removeFirst()
            repeat(copies()) { wire.sidecar.receive(wire.entry.incarnation, message) }
        } else if (wire.toEntry.isNotEmpty()) {
            val message = wire.toEntry.removeFirst()
            repeat(copies()) { wire.entry.receive(wire.sidecar.endpoint, message) }
        }
    }

    private fun copies() = if (withFaults && random.nextInt(25) == 0) 2 else 1

    /** The entry instance notices at once; the sidecar goes on reading until the next connection comes. */
    private fun cut(wire: Wire) {
        if (!wire.isOpen) return
        wire.isOpen = false
        wire.isHalfOpen = true
        wire.toEntry.clear()
        wire.entry.perform(wire.entry.dispatcher.onMemberDown(wire.sidecar.endpoint, world.nowMs))
    }

    private fun noticeLoss(wire: Wire) {
        if (!wire.isHalfOpen) return
        wire.isHalfOpen = false
        wire.toSidecar.clear()
        wire.sidecar.perform(wire.sidecar.scheduler.onEntryLost(wire.entry.incarnation, world.nowMs))
    }

    private fun open(wire: Wire) {
        if (wire.isOpen || wire.sidecar.isFrozen || wire.sidecar.leftAtMs < world.nowMs) return
        noticeLoss(wire)
        wire.isOpen = true
        val sidecar = wire.sidecar
        wire.entry.perform(
            wire.entry.dispatcher.onMemberUp(
                sidecar.endpoint,
                SidecarNode.POOL,
                sidecar.scheduler.incarnation,
                isLocalZone = true,
                world.nowMs,
            ),
        )
    }

    private fun crashSidecar(sidecar: SidecarNode) {
        world.wires.filter { it.sidecar === sidecar }.forEach(::cut)
        sidecar.restart()
        sidecar.isFrozen = false
        world.wires.filter { it.sidecar === sidecar }.forEach {
            it.isHalfOpen = false
            it.toSidecar.clear()
        }
    }

    private fun crashEntry(entry: EntryNode) {
        val wires = world.wires.filter { it.entry === entry }
        wires.filter { it.isOpen || it.isHalfOpen }.forEach {
            it.toEntry.clear()
            it.toSidecar.clear()
            it.isOpen = false
            it.isHalfOpen = false
            it.sidecar.perform(it.sidecar.scheduler.onEntryLost(entry.incarnation, world.nowMs))
        }
        world.crashedEntries += entry.incarnation
        entry.restart()
    }

    private fun leave(sidecar: SidecarNode) {
        if (sidecar.isFrozen || sidecar.leftAtMs != Long.MAX_VALUE) return
        sidecar.leftAtMs = world.nowMs
        sidecar.perform(sidecar.scheduler.onLeave())
    }

    private fun passTime(milliseconds: Long) {
        world.nowMs += milliseconds
        world.entries.forEach { it.perform(it.dispatcher.onTick(world.nowMs)) }
        world.sidecars.filterNot { it.isFrozen }.forEach { it.perform(it.scheduler.onTick(world.nowMs)) }
    }

    /** Ends all faults, then lets frames arrive, calls end and deadlines pass. */
    private fun settle() {
        world.sidecars.forEach { it.isFrozen = false }
        world.sidecars.filter { it.leftAtMs != Long.MAX_VALUE }.forEach(::crashSidecar)
        repeat(SETTLE_STEPS) {
            world.wires.forEach(::open)
            repeat(SETTLE_FRAMES) { deliver() }
            world.sidecars.forEach { it.endOne() }
            passTime(SETTLE_MS)
        }
    }

    private companion object {
        const val SETTLE_STEPS = 120
        const val SETTLE_FRAMES = 40
        const val SETTLE_MS = 40L
    }
}
