/**
 * Numbered policy versions: applying patches, committing each once, distributing versions, tracking their freshness.
 */
package org.heatherhaven.core.logic.policy;
