/** What a front is told and tells apart from traffic: machine lists, rollout news and votes, notes between fronts. */
package laurelkeel.front.controlplane;
