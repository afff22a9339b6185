package org.guavahatch.standins.platform

import kotlinx.serialization.Serializable
import java.util.concurrent.ConcurrentHashMap

/** Entry of the instance list. */
@Serializable
internal data class ListedInstance(
    val name: String,
    val pool: String,
    val zone: String,
    val host: String,
    val port: Int,
    val state: String = "live",
)

/**
 * Instance lists by deployment. Readers see each change with a delay, as from an eventually consistent list.
 *
 * @property lagMilliseconds delay until a change becomes visible
 */
internal class ListedInstances(private val lagMilliseconds: Long) {
    private data class ListVersion(val atMilliseconds: Long, val instances: List<ListedInstance>)

    private val versions = ConcurrentHashMap<String, List<ListVersion>>()

    /** Replaces the list of [deployment]. */
    fun set(deployment: String, instances: List<ListedInstance>, nowMilliseconds: Long) {
        versions.merge(deployment, listOf(ListVersion(nowMilliseconds, instances))) { old, new -> old + new }
    }

    /**
     * Returns the list of [deployment] that is visible at [nowMilliseconds]. The first list is visible immediately.
     */
    fun get(deployment: String, nowMilliseconds: Long): List<ListedInstance> {
        val all = versions[deployment].orEmpty()
        val visible = all.lastOrNull { it.atMilliseconds + lagMilliseconds <= nowMilliseconds } ?: all.firstOrNull()
        return visible?.instances.orEmpty()
    }
}
