/** Parts shared by the HTTP listeners of a node: dialects, header filters, and the server for small pages. */
package org.heatherhaven.node.http;
