/** What the HTTP listeners of a node have in common. */
package org.heatherhaven.node.http;
