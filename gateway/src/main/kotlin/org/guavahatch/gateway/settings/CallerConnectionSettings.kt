package org.guavahatch.gateway.settings

import kotlinx.serialization.Serializable

/**
 * Limits of the connections of callers.
 *
 * @property maximumUnreadBytes bytes that all callers of the gateway together have not read yet
 */
@Serializable
data class CallerConnectionSettings(val maximumUnreadBytes: Long = 8L * 1024 * 1024)
