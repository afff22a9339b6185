package org.guavahatch.standins.engine

import kotlinx.serialization.Serializable

/**
 * An order to load a model or adapter, or to change the role.
 *
 * @property fencingNumber number that rises with every holder of the right to give orders
 * @property setting what to change: `model`, `adapter` or `role`
 * @property value what it is to be
 */
@Serializable
internal data class EngineOrder(val fencingNumber: Long, val setting: String, val value: String)

/**
 * State that orders have led to.
 *
 * @property values present value of each setting
 * @property applied all orders that were applied, in order
 */
@Serializable
internal data class EngineOrderState(val values: Map<String, String>, val applied: List<EngineOrder>)

/** Takes orders, and refuses those with an old fencing number if [checksFencing]. */
internal class EngineOrders(private val checksFencing: Boolean) {
    private var highest = 0L
    private val applied = mutableListOf<EngineOrder>()

    @Synchronized
    fun apply(order: EngineOrder): Boolean {
        if (checksFencing && order.fencingNumber < highest) return false
        highest = maxOf(highest, order.fencingNumber)
        applied += order
        return true
    }

    @Synchronized
    fun state(): EngineOrderState = EngineOrderState(applied.associate { it.setting to it.value }, applied.toList())
}
