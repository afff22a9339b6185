package org.guavahatch.standins.engine

import kotlinx.serialization.Serializable

/**
 * An order to load a model or adapter, or to change the role of the engine.
 *
 * @property fencingNumber fencing token, which increases with each new holder of the right to issue orders
 * @property setting setting to change: `model`, `adapter` or `role`
 * @property value new value of the setting
 */
@Serializable
internal data class EngineOrder(val fencingNumber: Long, val setting: String, val value: String)

/**
 * Result of all orders so far.
 *
 * @property values current value of each setting
 * @property applied applied orders, oldest first
 */
@Serializable
internal data class EngineOrderState(val values: Map<String, String>, val applied: List<EngineOrder>)

/**
 * Applies orders to the engine's settings.
 *
 * @property checksFencing whether an order is refused if its fencing number is below the highest one applied so far
 */
internal class EngineOrders(private val checksFencing: Boolean) {
    private var highestFencingNumber = 0L
    private val applied = mutableListOf<EngineOrder>()

    /** Applies [order]; returns false if it was refused. */
    @Synchronized
    fun apply(order: EngineOrder): Boolean {
        if (checksFencing && order.fencingNumber < highestFencingNumber) return false
        highestFencingNumber = maxOf(highestFencingNumber, order.fencingNumber)
        applied += order
        return true
    }

    /** Returns the current settings and the applied orders. */
    @Synchronized
    fun state(): EngineOrderState = EngineOrderState(applied.associate { it.setting to it.value }, applied.toList())
}
