package org.guavahatch.gateway.settings

import kotlinx.serialization.Serializable

/**
 * Limits of what one gateway buffers for its callers.
 *
 * @property maximumUnreadBytes bytes of answers that all callers of the gateway together have not read yet
 */
@Serializable
data class CallerConnectionSettings(val maximumUnreadBytes: Long = 8L * 1024 * 1024)
