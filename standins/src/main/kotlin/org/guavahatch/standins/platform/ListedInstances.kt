package org.guavahatch.standins.platform

import kotlinx.serialization.Serializable
import java.util.concurrent.ConcurrentHashMap

/** An instance as the list shows it. */
@Serializable
internal data class ListedInstance(
    val name: String,
    val pool: String,
    val zone: String,
    val host: String,
    val port: Int,
    val state: String = "live",
)

/** Instances by deployment; readers see changes only after [lagMilliseconds]. */
internal class ListedInstances(private val lagMilliseconds: Long) {
    private data class Change(val atMilliseconds: Long, val instances: List<ListedInstance>)

    private val changes = ConcurrentHashMap<String, List<Change>>()

    fun set(deployment: String, instances: List<ListedInstance>, nowMilliseconds: Long) {
        changes.merge(deployment, listOf(Change(nowMilliseconds, instances))) { old, new -> old + new }
    }

    /** The last change that is old enough; the very first one shows at once. */
    fun get(deployment: String, nowMilliseconds: Long): List<ListedInstance> {
        val all = changes[deployment].orEmpty()
        val visible = all.lastOrNull { it.atMilliseconds + lagMilliseconds <= nowMilliseconds } ?: all.firstOrNull()
        return visible?.instances.orEmpty()
    }
}
